import type {
  EdgeCodec,
  EngineControl,
  ForwardSettings,
  ObjectSource,
  OrderMark,
} from '@laburnumshift/forward-types';
import type { FleetDecoder, FleetOptions } from '@laburnumshift/track-fleet';
import type { PlatformClient } from '@laburnumshift/types';

/** Settings and platform clients of a forwarding host. */
export interface ForwarderOptions {
  readonly settings: ForwardSettings;
  readonly source: ObjectSource;
  readonly leases: Pick<PlatformClient, 'readObject' | 'writeObject'>;
  readonly decoder: FleetDecoder;
  readonly kinds: FleetOptions['kinds'] & { readonly hosts: string };
  readonly codec: EdgeCodec;
  readonly control: EngineControl;
  /** Writes an order mark to the registry entry of an engine. Resolves to false when the write failed or its outcome is unknown. */
  readonly writeOrderMark: (engine: string, mark: OrderMark) => Promise<boolean>;
  /** Closes all connections of the store clients and of `control`; calls on them fail. */
  readonly closeConnections: () => void;
  /** Path of the readiness check that the load balancer calls. */
  readonly readinessPath: string;
}
