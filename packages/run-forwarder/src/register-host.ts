import { randomUUID } from 'node:crypto';
import { sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { PeerHost } from '@laburnumshift/share-load';
import { watchKind } from '@laburnumshift/watch-objects';
import { decodeHostPeer } from './decode-host-peer.js';
import type { HostRegistry } from './host-registry.js';
import type { RegisterHostOptions } from './register-host-options.js';

/** Maximum wait of a watch call, in milliseconds: long, because hosts rarely start or stop. */
const WATCH_WAIT_MS = 10_000;
/** Delay for batching changes, in milliseconds, so that hosts that start together are listed together. */
const BATCH_DELAY_MS = 400;
/** Delay after a failed write, in milliseconds. */
const REGISTRATION_RETRY_MS = 1000;
/** Delay of the first list when the whole fleet starts for the first time, in milliseconds: all hosts start within 0.3 s. */
const FIRST_START_DELAY_MS = 450;

/** Registers this host in the platform's object store, retrying until it succeeds, and watches the registrations of other hosts. */
export function registerHost(options: RegisterHostOptions): HostRegistry {
  const { source, leases, kind, self } = options;
  const { host } = self;
  const logger = createLogger('hosts');
  const abortController = new AbortController();
  let peers: readonly PeerHost[] = [];
  let resolveListed = (): void => undefined;
  const whenListed = new Promise<void>((resolve) => {
    resolveListed = resolve;
  });
  const firstStartDelay = options.isFirstStart
    ? sleep(FIRST_START_DELAY_MS, abortController.signal)
    : Promise.resolve();
  const view = watchKind({
    source: {
      ...source,
      listObjects: async (...list) => {
        await firstStartDelay;
        return source.listObjects(...list);
      },
    },
    kind,
    waitMs: WATCH_WAIT_MS,
    isStaleAllowed: true,
    getBatchDelayMs: () => BATCH_DELAY_MS,
    onChanges: () => {
      peers = [...view.objects.values()].flatMap(({ name, spec }) => {
        const peer = name === host ? undefined : decodeHostPeer(name, spec);
        return peer === undefined || peer.address === self.address ? [] : [peer];
      });
      resolveListed();
      logger.info('hosts', { count: peers.length });
    },
  });
  /** Writes the registration unless an earlier process of this host left an equal one. Resolves to false when that failed. */
  const writeRegistration = async (): Promise<boolean> => {
    const spec = { address: self.address, failureDomain: self.failureDomain, size: self.size };
    const write = (version: number) => leases.writeObject(kind, host, spec, version, randomUUID(), 'status');
    const created = await write(0);
    if (created.kind !== 'conflict') return created.kind === 'written';
    const read = await leases.readObject(kind, host, 'status');
    if (read.kind !== 'found') return false;
    const existing = decodeHostPeer(host, read.object.value);
    const isSame =
      existing?.address === self.address &&
      existing.failureDomain === self.failureDomain &&
      existing.size === self.size;
    return isSame || (await write(read.object.version)).kind === 'written';
  };
  const registerWithRetry = async (): Promise<void> => {
    while (!abortController.signal.aborted) {
      if (await writeRegistration()) {
        logger.info('registered', { ...self });
        return;
      }
      await sleep(REGISTRATION_RETRY_MS, abortController.signal);
    }
  };
  registerWithRetry().catch((error: unknown) => {
    logger.error('not registered', { detail: String(error) });
  });
  return {
    listPeers: () => peers,
    whenListed,
    readChangesSince: view.readChangesSince,
    readState: view.readState,
    close: () => {
      abortController.abort();
      view.close();
    },
  };
}
