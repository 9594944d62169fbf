import type { IncomingMessage } from 'node:http';

/** A response whose head has arrived, or the reason why none did. `sent` is true when the connection was established. */
export type StreamResponse =
  | { readonly ok: true; readonly response: IncomingMessage }
  | { readonly ok: false; readonly detail: string; readonly sent: boolean };
