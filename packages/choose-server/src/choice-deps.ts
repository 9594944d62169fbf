import type { CostEstimator } from '@laburnumshift/estimate-cost';
import type { ForwardBounds } from '@laburnumshift/forward-types';
import type { PieceTransferPlanner } from '@laburnumshift/keep-pieces';
import type { ColdLimits, ServerLimits } from '@laburnumshift/limit-server-rates';
import type { LoadSharing } from '@laburnumshift/share-load';
import type { ServerTracker, ServerNotices } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';
import type { ChoiceTrace } from './choice-trace.js';

/** The state of a host that the choice of a server reads. */
export interface ChoiceDeps {
  readonly fleet: Pick<
    FleetView,
    'listBackends' | 'listEvacuated' | 'getWeights' | 'findNextWeights' | 'getConfig'
  >;
  readonly serverTracker: ServerTracker;
  readonly notices: Pick<ServerNotices, 'getAvailability'>;
  readonly limits: Pick<ServerLimits, 'hasRoom' | 'takeRoom' | 'estimateRoom'>;
  readonly coldLimits: Pick<ColdLimits, 'hasRoom' | 'takeRoom' | 'estimateRoom'>;
  readonly transferPlanner: Pick<PieceTransferPlanner, 'planFetches' | 'planTransfers'>;
  readonly sharing: Pick<LoadSharing, 'getLoadOfOthers' | 'countCoveredHosts' | 'countReportingHosts'> &
    Partial<Pick<LoadSharing, 'getWorkOfOthers'>>;
  /** Learned cost of calls; without it, servers are compared by their load. */
  readonly costs?: Pick<CostEstimator, 'getServiceMs'>;
  /** Called with the number of servers of a plain service that a call passed over because they are full. */
  readonly recordFullServers?: (service: string, servers: number) => void;
  /** Set when a choice is explained. */
  readonly trace?: ChoiceTrace;
  readonly bounds: Pick<ForwardBounds, 'versionMs'>;
  /** Returns the memory of an engine that the call must leave free for more urgent calls, tokens. Absent: none. */
  readonly getReservedTokens?: (engine: string, engineCount: number, capacityTokens: number) => number;
  /** Returns a number from 0 to 1; breaks ties and draws candidates. */
  readonly pickRandom: () => number;
  /**
   * The failure domain of which this host is the home host: it places the calls of all hosts there and knows the loads and cached
   * pieces of the engines there directly. `undefined` while this host is no home host and has equally old state of all engines.
   */
  readonly getHomeDomain: () => string | undefined;
}
