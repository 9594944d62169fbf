import type { CallPlacer } from '@laburnumshift/ask-home';
import type { BackendPool } from '@laburnumshift/call-backend';
import type { CopyTable, TokenTimes } from '@laburnumshift/continue-runs';
import type { ByteBudget } from '@laburnumshift/collect-bytes';
import type { CostEstimator } from '@laburnumshift/estimate-cost';
import type { EdgeCodec, EngineControl, ForwardBounds } from '@laburnumshift/forward-types';
import type { ConnectionGuard } from '@laburnumshift/limit-connections';
import type { ResendBudget } from '@laburnumshift/limit-resends';
import type { ServerLimits } from '@laburnumshift/limit-server-rates';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { CrashQuarantine } from '@laburnumshift/quarantine-pieces';
import type { LoadSharing } from '@laburnumshift/share-load';
import type { ServerTracker, ServerNotices } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Dependencies of call forwarding. */
export interface ForwarderDependencies {
  readonly codec: EdgeCodec;
  readonly fleet: FleetView;
  readonly serverTracker: ServerTracker;
  readonly costs: Pick<CostEstimator, 'estimateCallMs' | 'observeCall'>;
  readonly notices: Pick<ServerNotices, 'getAvailability' | 'markLeaving' | 'markPaused'>;
  readonly limits: Pick<ServerLimits, 'observeLimit' | 'hasRoom' | 'takeRoom'>;
  readonly quarantine: Pick<CrashQuarantine, 'checkCall' | 'beginAttempt'>;
  readonly pool: BackendPool;
  readonly placer: CallPlacer;
  readonly sharing: Pick<LoadSharing, 'countCoveredHosts' | 'getLoadOfOthers'>;
  /** Copies of this host's runs, the times of output tokens by which runs are chosen for copies, and the stated life of engines. */
  readonly runCopies: {
    readonly copies: CopyTable;
    readonly tokenTimes: TokenTimes;
    /** Average time between unannounced ends of one engine, milliseconds; `undefined` when not stated. */
    readonly engineLifeMs: number | undefined;
  };
  readonly resends: Pick<ResendBudget, 'recordCall' | 'hasResend'>;
  readonly metrics: Metrics;
  readonly bounds: ForwardBounds;
  /** Memory of the bodies of all requests, and of the answers that are kept until they or an event of theirs are complete. */
  readonly memory: { readonly bodies: ByteBudget; readonly answers: ByteBudget };
  readonly connectionGuard: ConnectionGuard;
  /** Notes that bytes of a request body were read, whose buffers become garbage. */
  readonly observeReadBytes: (bytes: number) => void;
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive), which selects the service of a call by weight. */
  readonly pickRandom: () => number;
  /** Polls a server for its liveness and its running calls. */
  readonly probeServer: EngineControl['probeServer'];
  /** Reads the state of an engine; not shared, so that it was made after the call. */
  readonly readReport: EngineControl['readReport'];
  /** Copies the memory of a run to another engine, and frees such memory. */
  readonly moveRun: EngineControl['moveRun'];
  readonly freeHandle: EngineControl['freeHandle'];
  /** Calls `check` at a fixed interval until the returned function is called. */
  readonly startStallChecks: (check: () => void) => () => void;
}
