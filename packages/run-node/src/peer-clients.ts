import type {
  BackendServer,
  Config,
  EngineClient,
  OlderSystemClient,
  ServiceClient,
  StoreClient,
  StoreHost,
} from '@laburnumshift/types';

/** The clients of configured backend servers, stores and older systems, one for each URL. */
export interface PeerClients {
  readonly getEngine: (name: string, url: string) => EngineClient;
  readonly getStore: (store: StoreHost) => StoreClient;
  readonly getService: (server: Pick<BackendServer, 'name' | 'url'>) => ServiceClient;
  readonly getOlder: (url: string) => OlderSystemClient;
  /** Closes the clients whose URL is not in the configuration. */
  readonly dropUnused: (config: Config) => void;
  readonly close: () => void;
}
