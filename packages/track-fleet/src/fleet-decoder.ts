import type { BackendEntry, ForwardConfig, StoredObject, WeightVersion } from '@laburnumshift/forward-types';

/** Decodes objects of the platform's store. `undefined`: the object is damaged or foreign and names nothing to use. */
export interface FleetDecoder {
  readonly decodeConfig: (object: StoredObject) => ForwardConfig | undefined;
  readonly decodeBackend: (object: StoredObject) => BackendEntry | undefined;
  readonly decodeWeights: (object: StoredObject) => WeightVersion | undefined;
}
