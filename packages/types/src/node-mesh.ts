import type { NodeCallError } from './node-call-error.js';
import type { NodeMessageType } from './node-message-type.js';
import type { NodeMessages } from './node-messages.js';
import type { Result } from './result.js';

/** Authenticated links to the other nodes. */
export interface NodeMesh {
  /** Sends a request and waits for the reply; opens the link when needed. Requests to this node itself are handled locally. */
  readonly callNode: <T extends NodeMessageType>(
    address: string,
    type: T,
    body: NodeMessages[T]['body'],
    timeoutMs: number,
  ) => Promise<Result<NodeMessages[T]['reply'], NodeCallError>>;
  /** Registers the handler of a message type; a second one for the same type is an error. */
  readonly handleMessage: <T extends NodeMessageType>(
    type: T,
    handler: (body: NodeMessages[T]['body'], from: string) => Promise<NodeMessages[T]['reply']>,
  ) => void;
  readonly getAddress: () => string;
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly close: () => Promise<void>;
}
