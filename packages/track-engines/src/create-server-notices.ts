import { readMonotonicMs } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { ServerIncarnation } from './server-incarnation.js';
import type { ServerNotices } from './server-notices.js';

/** Time for which a notice is repeated to other hosts, milliseconds: several periods of their messages, as datagrams get lost. */
const REPEAT_MS = 3000;
/** Most notices in one message; at 40 bytes each they take only a part of a datagram. */
const MAX_NOTICES_PER_MESSAGE = 24;
/** Most servers recorded; beyond that the one updated longest ago is removed. Leaving servers end within a minute. */
const MAX_SERVERS = 4000;

interface Entry {
  readonly bornMs: number;
  isLeaving: boolean;
  /** End of the pause that the server asked this host for. */
  pausedUntilMs: number;
  /** End of the pauses that the server asked other hosts for. */
  pausedElsewhereUntilMs: number;
  /** Time of the newest notice. */
  issuedMs: number;
}

/** Creates an empty table. Its times are monotonic, so steps of the wall clock have no effect on them. */
export function createServerNotices(): ServerNotices {
  const logger = createLogger('notices');
  const entries = new Map<string, Entry>();

  /** Returns the entry of a server process; `undefined` when a later process with its id is known. */
  const ensureEntry = ({ id, bornMs }: ServerIncarnation): Entry | undefined => {
    const known = entries.get(id);
    if (known !== undefined && known.bornMs > bornMs) return undefined;
    const entry =
      known?.bornMs === bornMs
        ? known
        : {
            bornMs,
            isLeaving: false,
            pausedUntilMs: -Infinity,
            pausedElsewhereUntilMs: -Infinity,
            issuedMs: -Infinity,
          };
    entries.delete(id);
    entries.set(id, entry);
    const [oldest] = entries.size > MAX_SERVERS ? entries.keys() : [];
    if (oldest !== undefined) entries.delete(oldest);
    return entry;
  };
  const setLeaving = (server: ServerIncarnation, entry: Entry, isOwn: boolean): void => {
    if (!entry.isLeaving)
      logger.info('server announced that it is leaving', { server: server.id, bornMs: server.bornMs, isOwn });
    entry.isLeaving = true;
  };

  return {
    markLeaving: (server) => {
      const entry = ensureEntry(server);
      if (entry === undefined || entry.isLeaving) return;
      entry.issuedMs = readMonotonicMs();
      setLeaving(server, entry, true);
    },
    markPaused: (server, ms) => {
      const entry = ensureEntry(server);
      if (entry === undefined) return;
      const now = readMonotonicMs();
      entry.issuedMs = now;
      entry.pausedUntilMs = Math.max(entry.pausedUntilMs, now + ms);
      logger.info('server asked for a pause in calls', { server: server.id, ms });
    },
    addNotice: ({ server, bornMs, isLeaving, pauseMs, ageMs }) => {
      const incarnation = { id: server, bornMs };
      const entry = ensureEntry(incarnation);
      if (entry === undefined) return;
      const now = readMonotonicMs();
      entry.issuedMs = Math.max(entry.issuedMs, now - ageMs);
      if (isLeaving) setLeaving(incarnation, entry, false);
      if (pauseMs > 0) entry.pausedElsewhereUntilMs = Math.max(entry.pausedElsewhereUntilMs, now + pauseMs);
    },
    getAvailability: ({ id, bornMs }) => {
      const entry = entries.get(id);
      if (entry?.bornMs !== bornMs) return { isLeaving: false, pauseMs: 0, isPausedElsewhere: false };
      const now = readMonotonicMs();
      return {
        isLeaving: entry.isLeaving,
        pauseMs: Math.max(0, entry.pausedUntilMs - now),
        isPausedElsewhere: entry.pausedElsewhereUntilMs > now,
      };
    },
    listNotices: () => {
      const now = readMonotonicMs();
      return [...entries]
        .filter(([, { issuedMs }]) => now - issuedMs < REPEAT_MS)
        .sort(([, a], [, b]) => b.issuedMs - a.issuedMs)
        .slice(0, MAX_NOTICES_PER_MESSAGE)
        .map(([server, entry]) => ({
          server,
          bornMs: entry.bornMs,
          isLeaving: entry.isLeaving,
          pauseMs: Math.max(0, Math.round(Math.max(entry.pausedUntilMs, entry.pausedElsewhereUntilMs) - now)),
          ageMs: Math.round(now - entry.issuedMs),
        }));
    },
  };
}
