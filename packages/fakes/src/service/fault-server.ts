import type { ServiceFaults } from './service-faults.js';

/** A server whose process and connections can be made to fail. */
export interface FaultServer {
  readonly url: string;
  /** Answers `PUT /faults` also while the server itself is down. */
  readonly adminUrl: string;
  readonly getBootId: () => string;
  readonly getFaults: () => ServiceFaults;
  readonly setFaults: (faults: Partial<ServiceFaults>) => Promise<void>;
  /** Takes one call off a `lost` switch; true when the call is hit. */
  readonly takeLost: (name: 'lostAfterRun' | 'lostBeforeRun') => boolean;
  readonly close: () => Promise<void>;
}
