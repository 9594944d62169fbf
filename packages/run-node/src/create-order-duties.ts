import { writeAuditRecord } from '@laburnumshift/audit-changes';
import { holdLease, type Lease } from '@laburnumshift/hold-lease';
import { orderEngines } from '@laburnumshift/order-engines';
import { findHome } from '@laburnumshift/rank-homes';
import type { Config, EngineClient, Membership, PlatformClient } from '@laburnumshift/types';
import type { OrderDuties } from './order-duties.js';

/** The lease of one pool and the function that stops its orders. */
interface PoolDuty {
  readonly lease: Lease;
  readonly stopOrders: () => void;
}

/**
 * Creates the tasks that send orders to the engines of each model pool. Only the first node in rendezvous order tries to get
 * the lease of a pool, so the other nodes send the platform no lease calls.
 */
export function createOrderDuties(
  platform: PlatformClient,
  membership: Membership,
  getConfig: () => Config | undefined,
  getEngine: (name: string, url: string) => EngineClient,
): OrderDuties {
  const duties = new Map<string, PoolDuty>();
  const self = membership.getSelf();

  const startDuty = (name: string): PoolDuty => {
    const isWanted = (): boolean =>
      findHome(`orders/${name}`, membership.listLiveMembers())?.host === self.host;
    const lease = holdLease({ platform, name: `orders.${name}`, self, isWanted });
    const stopOrders = orderEngines({
      lease,
      getDeclaredPool: () => {
        const config = getConfig();
        const pool = config?.pools[name];
        return config === undefined || pool === undefined
          ? undefined
          : { pool, generation: config.generation };
      },
      getEngineClient: (server) => {
        const found = getConfig()?.pools[name]?.servers.find((candidate) => candidate.name === server);
        return found === undefined ? undefined : getEngine(found.name, found.url);
      },
      recordOrderAudit: async (record) => {
        if (!(await writeAuditRecord(platform, record)))
          throw new Error('the platform did not store the audit record');
      },
      host: self.host,
    });
    return { lease, stopOrders };
  };

  return {
    applyConfig: (config) => {
      const wanted = new Set(
        Object.values(config.pools).flatMap((pool) => (pool.kind === 'model' ? pool.name : [])),
      );
      for (const [name, duty] of duties) {
        if (wanted.has(name)) continue;
        duty.stopOrders();
        void duty.lease.release();
        duties.delete(name);
      }
      for (const name of wanted) if (!duties.has(name)) duties.set(name, startDuty(name));
    },
    listHeld: () =>
      [...duties].flatMap(([pool, { lease }]) => {
        const fencing = lease.getFencingToken();
        return fencing === undefined ? [] : [{ pool, fencing }];
      }),
    release: async () => {
      for (const { stopOrders } of duties.values()) stopOrders();
      await Promise.all([...duties.values()].map(({ lease }) => lease.release()));
      duties.clear();
    },
  };
}
