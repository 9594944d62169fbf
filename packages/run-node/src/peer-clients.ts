import type {
  BackendServer,
  Config,
  EngineClient,
  OlderSystemClient,
  ServiceClient,
  StoreClient,
  StoreHost,
} from '@laburnumshift/types';

/** Clients of the backend servers, stores and older systems that the configuration names; one for each address. */
export interface PeerClients {
  readonly getEngine: (name: string, url: string) => EngineClient;
  readonly getStore: (store: StoreHost) => StoreClient;
  readonly getService: (server: Pick<BackendServer, 'name' | 'url'>) => ServiceClient;
  readonly getOlder: (url: string) => OlderSystemClient;
  /** Closes the clients of addresses that the configuration no longer names. */
  readonly dropUnused: (config: Config) => void;
  readonly close: () => void;
}
