import type { ServiceCallRecord } from '../service/service-call-record.js';
import type { ServiceFaults } from '../service/service-faults.js';

/** A running fake older system. */
export interface FakeOlderSystem {
  readonly url: string;
  readonly adminUrl: string;
  /** Times that a plain call with this idempotency key ran here. */
  readonly countRuns: (key: string) => number;
  /** Plain calls that ran here, in order. */
  readonly listCalls: () => readonly ServiceCallRecord[];
  readonly countCompletions: () => number;
  readonly setFaults: (faults: Partial<ServiceFaults>) => Promise<void>;
  readonly close: () => Promise<void>;
}
