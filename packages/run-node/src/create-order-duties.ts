import { writeAuditRecord } from '@laburnumshift/audit-changes';
import { holdLease, type Lease } from '@laburnumshift/hold-lease';
import { orderEngines } from '@laburnumshift/order-engines';
import { findHome } from '@laburnumshift/rank-homes';
import type { Config, EngineClient, Membership, PlatformClient } from '@laburnumshift/types';
import type { OrderDuties } from './order-duties.js';

/** The duty for one pool. */
interface Duty {
  readonly lease: Lease;
  readonly stopOrders: () => void;
}

/**
 * Keeps the orders to the engines of each model pool. Only the first node in rendezvous order competes for a pool's lease,
 * so that the others cost the platform nothing.
 */
export function createOrderDuties(
  platform: PlatformClient,
  membership: Membership,
  getConfig: () => Config | undefined,
  getEngine: (name: string, url: string) => EngineClient,
): OrderDuties {
  const duties = new Map<string, Duty>();
  const self = membership.getSelf();

  const startDuty = (name: string): Duty => {
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
        const found = getConfig()?.pools[name]?.servers.find((one) => one.name === server);
        return found === undefined ? undefined : getEngine(found.name, found.url);
      },
      recordOrderAudit: async (record) => {
        if (!(await writeAuditRecord(platform, record)))
          throw new Error('the platform did not take the record');
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
