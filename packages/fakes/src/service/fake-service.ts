import type { ServiceCallRecord } from './service-call-record.js';
import type { ServiceFaults } from './service-faults.js';

/** A running fake plain service. */
export interface FakeService {
  readonly url: string;
  readonly adminUrl: string;
  readonly getBootId: () => string;
  /** Times that a call with this idempotency key ran. */
  readonly countRuns: (key: string) => number;
  readonly listRuns: () => ReadonlyMap<string, number>;
  /** Calls that ran on this instance, in order. */
  readonly listCalls: () => readonly ServiceCallRecord[];
  /** Highest number of calls that ran at once. */
  readonly getPeak: () => number;
  readonly setFaults: (faults: Partial<ServiceFaults>) => Promise<void>;
  readonly close: () => Promise<void>;
}
