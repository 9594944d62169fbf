import type { BackendEntry, ForwardConfig, CopyState, RelayedChanges } from '@laburnumshift/forward-types';
import type { PublishedWeights } from './published-weights.js';

/** A host's copy of the fleet's configuration, backend servers and weight versions. Its objects are replaced, never mutated. */
export interface FleetView {
  /** Returns the newest decoded configuration; `undefined` before the first one. */
  readonly getConfig: () => ForwardConfig | undefined;
  /** Returns an upper bound of the age of the configuration, milliseconds; infinite before it was listed. */
  readonly getConfigAgeMs: () => number;
  /** Lists the servers of a service that may get calls, that is without draining ones and those of evacuated failure domains. */
  readonly listBackends: (service: string) => readonly BackendEntry[];
  /** Lists the servers of a service that get no calls only because their failure domains are evacuated. */
  readonly listEvacuated: (service: string) => readonly BackendEntry[];
  /** Number of servers in evacuated failure domains. */
  readonly countEvacuated: () => number;
  /** Number of servers that are cold now. */
  readonly countCold: () => number;
  /** Records that a server stated in an answer that it stays cold for `coldMs` milliseconds; returns whether that was not known. */
  readonly markCold: (server: Pick<BackendEntry, 'id' | 'bornMs'>, coldMs: number) => boolean;
  readonly getBackend: (id: string) => BackendEntry | undefined;
  /** Lists all registered servers, draining ones included. */
  readonly listAllBackends: () => readonly BackendEntry[];
  /** Returns the newest published weights of a model; `undefined` when none are known. */
  readonly getWeights: (model: string) => PublishedWeights | undefined;
  /** Lists the newest published weights of each model. */
  readonly listWeights: () => readonly PublishedWeights[];
  /** Returns the oldest known weights of a model that are newer than a version; `undefined` while the version is the newest. */
  readonly findNextWeights: (model: string, version: number) => PublishedWeights | undefined;
  /** Returns an upper bound of the age of the published weights, milliseconds; infinite before they were listed. */
  readonly getWeightsAgeMs: () => number;
  /** Tells whether a configuration is known and each kind was listed. */
  readonly isComplete: () => boolean;
  /** Calls the handler when a server was added, changed or removed; the entry of a removed one is `undefined`. */
  readonly watchBackends: (handler: (id: string, entry: BackendEntry | undefined) => void) => void;
  /** Calls the handler when a newer configuration was applied. */
  readonly watchConfig: (handler: (config: ForwardConfig) => void) => void;
  /** Calls the handler when newer weights were published. */
  readonly watchWeights: (handler: () => void) => void;
  /** Returns the changes of a kind of objects after a revision of the store; `undefined` when they are not known. */
  readonly readObjects: (kind: string, after: number) => RelayedChanges | undefined;
  /** Lists how recent the copies are, for hosts that read the objects from this one. */
  readonly listStates: () => readonly CopyState[];
  /** Stops watching the store. */
  readonly close: () => void;
}
