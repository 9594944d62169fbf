import type {
  EdgeCodec,
  EngineControl,
  ForwardSettings,
  ObjectSource,
  OrderMark,
} from '@laburnumshift/forward-types';
import type { FleetDecoder, FleetOptions } from '@laburnumshift/track-fleet';
import type { PlatformClient } from '@laburnumshift/types';

/** What the platform's edge gives to a forwarding host. */
export interface ForwarderOptions {
  readonly settings: ForwardSettings;
  readonly source: ObjectSource;
  readonly leases: Pick<PlatformClient, 'readObject' | 'writeObject'>;
  readonly decoder: FleetDecoder;
  readonly kinds: FleetOptions['kinds'] & { readonly hosts: string };
  readonly codec: EdgeCodec;
  readonly control: EngineControl;
  /** Writes the mark of an order on an engine's entry; false when that failed or is unknown. */
  readonly markEngine: (engine: string, mark: OrderMark) => Promise<boolean>;
  /** Closes all connections to the store and of `control`; calls on them fail. */
  readonly closeConnections: () => void;
  /** Path of the balancer's question whether this host takes connections. */
  readonly readyPath: string;
}
