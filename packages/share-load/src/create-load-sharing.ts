import dgram from 'node:dgram';
import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { pack } from 'msgpackr';
import { decodeLoadMessage } from './decode-load-message.js';
import type { LoadMessage } from './load-message.js';
import type { LoadShare } from './load-share.js';
import type { LoadSharing } from './load-sharing.js';
import type { SharingOptions } from './sharing-options.js';

/** Shortest distance of two messages to a host, milliseconds: about the time between two calls of a busy engine. */
const MIN_PERIOD_MS = 80;
/** Datagrams that one host sends in a second, so that the cost for each host does not grow with the fleet. */
const MESSAGES_PER_S = 70;
/** A host that was not heard for so many periods counts as gone. */
const SILENT_PERIODS = 8;
const MS_PER_S = 1000;

interface Heard {
  readonly atMs: number;
  readonly bornMs: number;
  readonly number: number;
  readonly loads: ReadonlyMap<string, LoadShare>;
}

/**
 * Shares the work of hosts by datagrams. Each message holds the whole state of its sender, so lost ones do no harm, and there
 * are no connections that could go silent.
 */
export async function createLoadSharing(options: SharingOptions): Promise<LoadSharing> {
  const { host, bornMs, board, listPeers } = options;
  const logger = createLogger('sharing');
  const heard = new Map<string, Heard>();
  const socket = dgram.createSocket('udp4');
  const [address, port] = options.address.split(':');
  let number = 0;
  let isClosed = false;
  let wasSilent = false;

  const computePeriodMs = (): number =>
    Math.max(MIN_PERIOD_MS, (listPeers().length * MS_PER_S) / MESSAGES_PER_S);
  const listHeard = (): Heard[] => {
    const since = readMonotonicMs() - SILENT_PERIODS * computePeriodMs();
    return [...heard.values()].filter(({ atMs }) => atMs >= since);
  };
  const sendOnce = (): void => {
    const loads = board.listLoads();
    // One empty message tells that the work is done; further ones are sent more rarely.
    const isSilent = loads.length === 0;
    number += 1;
    if (!isSilent || !wasSilent || number % SILENT_PERIODS === 0) {
      const bytes = pack([host, bornMs, number, loads] satisfies LoadMessage);
      for (const peer of listPeers()) {
        const [peerAddress, peerPort] = peer.split(':');
        socket.send(bytes, Number(peerPort), peerAddress);
      }
    }
    wasSilent = isSilent;
  };
  const scheduleSend = (): void => {
    startTimer(computePeriodMs(), () => {
      if (isClosed) return;
      sendOnce();
      scheduleSend();
    });
  };

  socket.on('message', (bytes) => {
    const message = decodeLoadMessage(bytes);
    if (message === undefined) {
      logger.warn('unreadable message', { bytes: bytes.length });
      return;
    }
    const [sender, senderBornMs, senderNumber, loads] = message;
    const before = heard.get(sender);
    const isOld =
      before !== undefined &&
      (before.bornMs > senderBornMs || (before.bornMs === senderBornMs && before.number >= senderNumber));
    if (isOld || sender === host) return;
    if (before?.bornMs !== senderBornMs) logger.info('heard a host', { host: sender, bornMs: senderBornMs });
    heard.set(sender, {
      atMs: readMonotonicMs(),
      bornMs: senderBornMs,
      number: senderNumber,
      loads: new Map(
        loads.map(([server, inFlight, pendingTokens, heldTokens]) => [
          server,
          { inFlight, pendingTokens, heldTokens },
        ]),
      ),
    });
  });
  socket.on('error', (error) => {
    logger.warn('datagram failed', { detail: error.message });
  });
  await new Promise<void>((resolve) => {
    socket.bind(Number(port), address, resolve);
  });
  scheduleSend();

  return {
    getOthers: (server) => {
      const sum = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };
      for (const { loads } of listHeard()) {
        const load = loads.get(server);
        sum.inFlight += load?.inFlight ?? 0;
        sum.pendingTokens += load?.pendingTokens ?? 0;
        sum.heldTokens += load?.heldTokens ?? 0;
      }
      return sum;
    },
    countHosts: () => listHeard().length,
    close: () => {
      isClosed = true;
      socket.close();
    },
  };
}
