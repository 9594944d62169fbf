import type { BackendEntry, ForwardConfig, StoredObject, WeightVersion } from '@laburnumshift/forward-types';

/** Decodes objects of the platform's store. A result of `undefined` means that the object is malformed or not one of this system. */
export interface FleetDecoder {
  readonly decodeConfig: (object: StoredObject) => ForwardConfig | undefined;
  readonly decodeBackend: (object: StoredObject) => BackendEntry | undefined;
  readonly decodeWeights: (object: StoredObject) => WeightVersion | undefined;
}
