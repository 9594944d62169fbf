import type { EdgeCodec, EngineControl, ForwardSettings } from '@laburnumshift/forward-types';
import type { ObjectStore } from '@laburnumshift/order-revisions';
import type { FleetDecoder, FleetOptions } from '@laburnumshift/track-fleet';

/** Settings and platform clients of a forwarding host. */
export interface ForwarderOptions {
  readonly settings: ForwardSettings;
  readonly store: ObjectStore;
  readonly decoder: FleetDecoder;
  readonly kinds: FleetOptions['kinds'] & { readonly hosts: string };
  readonly codec: EdgeCodec;
  readonly control: EngineControl;
  /** Closes all connections of the store clients and of `control`; calls on them fail. */
  readonly closeConnections: () => void;
  /** Ends a start that waits for an address. */
  readonly stopSignal?: AbortSignal;
  /** Path of the readiness check that the load balancer calls. */
  readonly readinessPath: string;
}
