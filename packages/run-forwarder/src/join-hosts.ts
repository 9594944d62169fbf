import { randomUUID } from 'node:crypto';
import { sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { HostPeer } from '@laburnumshift/share-load';
import { watchKind } from '@laburnumshift/watch-objects';
import { decodeHostPeer } from './decode-host-peer.js';
import type { HostTable } from './host-table.js';
import type { JoinOptions } from './join-options.js';

/** Longest wait of a watch call, milliseconds: hosts come and go rarely. */
const WAIT_MS = 10_000;
/** Hosts that start together appear together, milliseconds. */
const GATHER_MS = 400;
/** Pause after a failed write, milliseconds. */
const RETRY_MS = 1000;

/** Registers this host in the platform's store and follows the other hosts there. */
export function joinHosts(options: JoinOptions): HostTable {
  const { source, leases, kind, self, bornMs } = options;
  const { host } = self;
  const logger = createLogger('hosts');
  const stopper = new AbortController();
  let peers: readonly HostPeer[] = [];
  let resolveKnown = (): void => undefined;
  const known = new Promise<void>((resolve) => {
    resolveKnown = resolve;
  });
  const view = watchKind({
    source,
    kind,
    waitMs: WAIT_MS,
    getGatherMs: () => GATHER_MS,
    onChanges: () => {
      peers = [...view.objects.values()].flatMap(({ name, spec }) => {
        const peer = name === host ? undefined : decodeHostPeer(name, spec);
        return peer === undefined || peer.address === self.address ? [] : [peer];
      });
      resolveKnown();
      logger.info('hosts', { count: peers.length });
    },
  });
  const register = async (): Promise<void> => {
    while (!stopper.signal.aborted) {
      const read = await leases.readObject(kind, host, 'status');
      if (read.kind !== 'unavailable') {
        const version = read.kind === 'found' ? read.object.version : 0;
        const written = await leases.writeObject(
          kind,
          host,
          { address: self.address, bornMs, failureDomain: self.failureDomain, size: self.size },
          version,
          randomUUID(),
          'status',
        );
        if (written.kind === 'written') {
          logger.info('registered', { ...self });
          return;
        }
      }
      await sleep(RETRY_MS, stopper.signal);
    }
  };
  register().catch((error: unknown) => {
    logger.error('not registered', { detail: String(error) });
  });
  return {
    listPeers: () => peers,
    known,
    close: () => {
      stopper.abort();
      view.close();
    },
  };
}
