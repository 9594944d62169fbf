import type { ServerResponse } from 'node:http';

/** An HTTP server whose connections can be cut, refused or silenced. */
export interface FakeServer {
  readonly url: string;
  readonly port: number;
  /** Makes all connections that are open now silent for good; new ones work. */
  readonly silenceOpen: () => void;
  /** True when the connection of this response has been silenced or closed, so that nothing may be written. */
  readonly isSilent: (response: ServerResponse) => boolean;
  /** Destroys all open connections. */
  readonly closeAll: () => void;
  /** Stops listening and cuts all connections, or listens again on the same port. */
  readonly setRefusing: (refusing: boolean) => void;
  readonly close: () => Promise<void>;
}
