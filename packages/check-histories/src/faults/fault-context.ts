import type { Site } from '@laburnumshift/fakes/site';
import type { Fleet } from '../harness/fleet.js';

/** What a fault may change. */
export interface FaultContext {
  readonly site: Site;
  readonly fleet: Fleet;
  /** Selects one of several equal parts, modulo their number. */
  readonly target: number;
  /** Records that a part of the platform gives no current answers until the returned function is called. */
  readonly beginOutage: (part: 'platform' | 'hosts') => () => void;
  /** Sends a request with a text that crashes engines, and sends it again after each failure. */
  readonly sendCrashingRequest: () => void;
}
