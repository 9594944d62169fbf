import { createEarliestTimer, readMonotonicMs } from '@laburnumshift/clock';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import type { ColdMessage } from './cold-message.js';
import type { ColdSharing } from './cold-sharing.js';
import type { ColdSharingOptions } from './cold-sharing-options.js';
import { decodeColdMessage } from './decode-cold-message.js';

/** Delay of a message after a statement, milliseconds: engines of a failure domain become cold together. */
const BATCH_MS = 10;
/** How often each statement is sent, as datagrams get lost, and the interval between, milliseconds. */
const SENDS = 3;
const REPEAT_MS = 80;
/** Most servers whose statements are being sent; further ones are known from their entries. */
const MAX_SERVERS = 64;

/** Exchanges with other hosts which servers stated in answers that they are cold: their entries say so up to a second later. */
export function startColdSharing({
  self,
  channel,
  listPeers,
  getPlan,
  onCold,
}: ColdSharingOptions): ColdSharing {
  const pending = new Map<string, { readonly bornMs: number; readonly untilMs: number; sends: number }>();
  const timer = createEarliestTimer(() => {
    const now = readMonotonicMs();
    const servers = [...pending].flatMap(([id, { bornMs, untilMs }]) =>
      untilMs > now ? [[id, bornMs, untilMs - now] as const] : [],
    );
    for (const [id, entry] of pending) {
      entry.sends += 1;
      if (entry.sends >= SENDS || entry.untilMs <= now) pending.delete(id);
    }
    const { reportTo, otherRelays } = getPlan();
    const receivers = new Set([...reportTo, ...otherRelays].map(({ address }) => address));
    const message = [MESSAGE_KINDS.coldServers, self.host, servers] as const;
    if (servers.length > 0) channel.sendMessage([...receivers], message satisfies ColdMessage);
    if (pending.size > 0) timer.schedule(REPEAT_MS);
  });
  channel.handleMessages(MESSAGE_KINDS.coldServers, (raw, from) => {
    const message = decodeColdMessage(raw);
    if (message === undefined) return false;
    const [, host, servers] = message;
    if (!listPeers().some((peer) => peer.host === host && peer.address === from)) return false;
    for (const [id, bornMs, coldMs] of servers) onCold({ id, bornMs }, coldMs);
    return true;
  });
  return {
    sendCold: ({ id, bornMs }, coldMs) => {
      if (pending.size >= MAX_SERVERS && !pending.has(id)) return;
      pending.set(id, { bornMs, untilMs: readMonotonicMs() + coldMs, sends: 0 });
      timer.schedule(BATCH_MS);
    },
    close: timer.close,
  };
}
