import type { PointFault } from './point-fault.js';
import type { StorePoint } from './store-point.js';

/** Fault switches of the fake store; all can be changed at run time. */
export interface StoreFaults {
  /** Cuts all connections and refuses new ones; the contents are kept. */
  readonly dead: boolean;
  /** Refuses puts and moves with 507. */
  readonly full: boolean;
  /** Multiplies the rate of the link; 0.1 is a link at a tenth of its rate. */
  readonly linkFactor: number;
  /** Share of the link that the older system uses, 0 to 1. */
  readonly otherShare: number;
  /** Trigger: connections that are open now go silent for good. Reads back as false. */
  readonly silenceOpen: boolean;
  /** A fault for each point of the protocol. */
  readonly points: Readonly<Partial<Record<StorePoint, PointFault>>>;
}
