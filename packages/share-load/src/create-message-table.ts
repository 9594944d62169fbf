import { readMonotonicMs } from '@laburnumshift/clock';
import type { ReceivedMessage } from './received-message.js';
import type { LoadMessage } from './load-message.js';
import type { MessageTable } from './message-table.js';

/** Time for which a message counts, milliseconds. It spans several report periods because datagrams can be lost. */
const MESSAGE_TTL_MS = 1500;

/** Creates an empty table. */
export function createMessageTable(): MessageTable {
  const messages = new Map<LoadMessage[0], Map<string, ReceivedMessage>>();
  return {
    addMessage: ([kind, host, bornMs, number, failureDomain, hosts, loads, , report, extras]) => {
      const messagesOfKind = messages.get(kind) ?? new Map<string, ReceivedMessage>();
      messages.set(kind, messagesOfKind);
      const previous = messagesOfKind.get(host);
      const isOutdated =
        previous !== undefined &&
        (previous.bornMs > bornMs || (previous.bornMs === bornMs && previous.number >= number));
      if (isOutdated) return 'old';
      const isFollower = report?.[0] ?? false;
      const atMs = readMonotonicMs();
      const works = extras?.[0];
      messagesOfKind.set(host, {
        host,
        bornMs,
        number,
        failureDomain,
        hosts,
        loads,
        works,
        isFollower,
        atMs,
      });
      return previous?.bornMs === bornMs ? 'next' : 'new';
    },
    listCurrent: (kind) => {
      const since = readMonotonicMs() - MESSAGE_TTL_MS;
      return [...(messages.get(kind)?.values() ?? [])]
        .filter(({ atMs }) => atMs >= since)
        .sort((a, b) => b.atMs - a.atMs);
    },
  };
}
