import type { HostChannel } from '@laburnumshift/host-channel';
import type { GrantTable } from './grant-table.js';
import type { QuestionDesk } from './question-desk.js';

/** Options of `serveQuestions`. */
export interface ServeOptions {
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleKind'>;
  /** Name of this host. */
  readonly host: string;
  /** Start time of this process, wall-clock milliseconds. */
  readonly bornMs: number;
  readonly desk: QuestionDesk;
  readonly grants: Pick<GrantTable, 'addGrant'>;
  /** Whether this host has enough data to place calls of other hosts. */
  readonly isReady: () => boolean;
  /** Whether a host is registered with this `IP:port`. */
  readonly isKnown: (host: string, address: string) => boolean;
}
