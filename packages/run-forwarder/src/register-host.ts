import { randomUUID } from 'node:crypto';
import { sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { splitRevision } from '@laburnumshift/order-revisions';
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
  /** Version of the registration in the store; `undefined` while it is being written. */
  let registeredVersion: number | undefined;
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
    restorePolicy: { keepsMissing: true },
    onRestored: () => {
      renewRegistration();
    },
    getBatchDelayMs: () => BATCH_DELAY_MS,
    onChanges: () => {
      peers = [...view.objects.values()].flatMap(({ name, spec }) => {
        const peer = name === host ? undefined : decodeHostPeer(name, spec);
        return peer === undefined || peer.address === self.address ? [] : [peer];
      });
      resolveListed();
      renewRegistration();
      logger.info('hosts', { count: peers.length });
    },
  });
  /**
   * Writes the registration unless an earlier process of this host left an equal one. Resolves to its version in the store; `undefined`
   * when that failed.
   */
  const writeRegistration = async (): Promise<number | undefined> => {
    const spec = { address: self.address, failureDomain: self.failureDomain, size: self.size };
    const write = async (version: number) => {
      const result = await leases.writeObject(kind, host, spec, version, randomUUID(), 'status');
      return result.kind === 'written' ? result : { ...result, version: undefined };
    };
    const created = await write(0);
    if (created.kind !== 'conflict') return created.version;
    const read = await leases.readObject(kind, host, 'status');
    if (read.kind !== 'found') return undefined;
    const existing = decodeHostPeer(host, read.object.value);
    const isSame =
      existing?.address === self.address &&
      existing.failureDomain === self.failureDomain &&
      existing.size === self.size;
    return isSame ? read.object.version : (await write(read.object.version)).version;
  };
  /** Whether the store was restored after the version was written, so that it may lack it. */
  const isBeforeRestore = (version: number): boolean =>
    splitRevision(version).era < splitRevision(view.readState()?.revision ?? 0).era;
  const registerWithRetry = async (): Promise<void> => {
    while (!abortController.signal.aborted) {
      const version = await writeRegistration();
      if (version !== undefined && !isBeforeRestore(version)) {
        registeredVersion = version;
        logger.info('registered', { ...self });
        return;
      }
      await sleep(REGISTRATION_RETRY_MS, abortController.signal);
    }
  };
  const startRegistration = (): void => {
    registerWithRetry().catch((error: unknown) => {
      logger.error('not registered', { detail: String(error) });
    });
  };
  /** Registers again when the store was restored; no other host writes the registration. */
  const renewRegistration = (): void => {
    if (registeredVersion === undefined || !isBeforeRestore(registeredVersion)) return;
    registeredVersion = undefined;
    startRegistration();
  };
  startRegistration();
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
