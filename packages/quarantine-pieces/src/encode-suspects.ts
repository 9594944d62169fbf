import { readMonotonicMs } from '@laburnumshift/clock';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import type { Suspect } from './suspect.js';
import type { SuspectMessage } from './suspect-message.js';

/** Encodes suspects as a message of this host. */
export function encodeSuspects(host: string, suspects: readonly Suspect[]): SuspectMessage {
  const now = readMonotonicMs();
  const encodeAge = (atMs: number): number | null => (Number.isFinite(atMs) ? Math.round(now - atMs) : null);
  return [
    MESSAGE_KINDS.crashSuspects,
    host,
    suspects.map(({ trait, position, crashes, clearedAtMs, trialAtMs }) => [
      trait,
      position,
      crashes.map(({ server, bornMs, atMs }) => [server, bornMs, Math.round(now - atMs)]),
      encodeAge(clearedAtMs),
      encodeAge(trialAtMs),
    ]),
  ];
}
