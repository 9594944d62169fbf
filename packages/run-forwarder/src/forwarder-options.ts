import type { EdgeCodec, EngineControl, ForwardSettings, ObjectSource } from '@laburnumshift/forward-types';
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
  /** Marks an engine that is about to load weights. */
  readonly markRolling: (engine: string, version: number) => Promise<boolean>;
  /** Path of the balancer's question whether this host takes connections. */
  readonly readyPath: string;
}
