import { randomUUID } from 'node:crypto';
import { sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { watchKind } from '@laburnumshift/watch-objects';
import type { HostTable } from './host-table.js';
import type { JoinOptions } from './join-options.js';

/** Longest wait of a watch call, milliseconds: hosts come and go rarely. */
const WAIT_MS = 10_000;
/** Pause after a failed write, milliseconds. */
const RETRY_MS = 1000;

const isAddress = (value: unknown): value is { readonly address: string } =>
  typeof value === 'object' &&
  value !== null &&
  /^[0-9.]+:[0-9]+$/.test(String((value as { address?: unknown }).address));

/** Registers this host in the platform's store and follows the other hosts there. */
export function joinHosts(options: JoinOptions): HostTable {
  const { source, leases, kind, host, address, bornMs } = options;
  const logger = createLogger('hosts');
  const stopper = new AbortController();
  let peers: readonly string[] = [];
  const view = watchKind({
    source,
    kind,
    waitMs: WAIT_MS,
    onChanges: () => {
      peers = [...view.objects.values()].flatMap(({ name, spec }) =>
        name !== host && isAddress(spec) && spec.address !== address ? [spec.address] : [],
      );
      logger.info('hosts', { peers });
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
          { address, bornMs },
          version,
          randomUUID(),
          'status',
        );
        if (written.kind === 'written') {
          logger.info('registered', { host, address });
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
    close: () => {
      stopper.abort();
      view.close();
    },
  };
}
