import type { AccountLimiter } from '@laburnumshift/limit-accounts';
import type { Logger } from '@laburnumshift/logger';
import type { RunRegistry } from '@laburnumshift/attach-runs';
import type { RetryBudget } from '@laburnumshift/limit-retries';
import type { Metrics } from '@laburnumshift/record-metrics';
import type {
  CallJournal,
  Membership,
  NodeMesh,
  NodeSettings,
  PlatformClient,
  Quarantine,
} from '@laburnumshift/types';
import type { ConfigWatch } from '@laburnumshift/watch-config';
import type { CellHomes } from './cell-homes.js';
import type { HostWatch } from './host-watch.js';
import type { OrderDuties } from './order-duties.js';
import type { PeerClients } from './peer-clients.js';
import type { Placer } from './placer.js';
import type { ServerTable } from './server-table.js';
import type { SuspectMemory } from './suspect-memory.js';
import type { TraceStore } from './trace-store.js';

/** The components of one node, which its handlers share. */
export interface NodeParts {
  readonly settings: NodeSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: PlatformClient;
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  readonly configWatch: ConfigWatch;
  readonly hostWatch: HostWatch;
  readonly peers: PeerClients;
  readonly homes: CellHomes;
  readonly orders: OrderDuties;
  readonly placer: Placer;
  readonly servers: ServerTable;
  readonly limiter: AccountLimiter;
  readonly journal: CallJournal;
  readonly quarantine: Quarantine;
  readonly suspects: SuspectMemory;
  readonly registry: RunRegistry;
  readonly retryBudget: RetryBudget;
  readonly traces: TraceStore;
  /** Last known boot id of each engine, by engine name. */
  readonly bootIds: Map<string, string>;
}
