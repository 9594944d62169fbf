import type { ServerIncarnation } from './server-incarnation.js';
import type { ServerNotice } from './server-notice.js';
import type { ServerAvailability } from './server-availability.js';

/** Announcements that backend servers made in their answers to this host and to others. */
export interface ServerNotices {
  /** Records that the server announced that it is leaving. */
  readonly markLeaving: (server: ServerIncarnation) => void;
  /** Records that the server refused a call of this host and asked for a pause of `ms` milliseconds. */
  readonly markPaused: (server: ServerIncarnation, ms: number) => void;
  /** Adds a notice that another host received. */
  readonly addNotice: (notice: ServerNotice) => void;
  readonly getAvailability: (server: ServerIncarnation) => ServerAvailability;
  /** Lists the notices recent enough to be sent to other hosts, the newest first. */
  readonly listNotices: () => readonly ServerNotice[];
}
