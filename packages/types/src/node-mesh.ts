import type { NodeCallError } from './node-call-error.js';
import type { NodeMessageType } from './node-message-type.js';
import type { NodeMessages } from './node-messages.js';
import type { Result } from './result.js';

/** Authenticated links to the other nodes. */
export interface NodeMesh {
  /**
   * Sends a request and waits for the reply; connects when there is no link yet. Requests to this node itself are handled
   * locally.
   */
  readonly callNode: <T extends NodeMessageType>(
    address: string,
    type: T,
    body: NodeMessages[T]['body'],
    timeoutMs: number,
  ) => Promise<Result<NodeMessages[T]['reply'], NodeCallError>>;
  /** Registers the handler of a message type. Throws when the type already has a handler. */
  readonly handleMessage: <T extends NodeMessageType>(
    type: T,
    handler: (body: NodeMessages[T]['body'], from: string) => Promise<NodeMessages[T]['reply']>,
  ) => void;
  readonly getAddress: () => string;
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly close: () => Promise<void>;
}
