import type { EngineToken } from './engine-token.js';
import type { PeerError } from './peer-error.js';

/** Items of the token stream of an engine; `done` and `error` are always the last item. */
export type EngineStreamItem =
  | { readonly kind: 'token'; readonly token: EngineToken; readonly bootId: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'error'; readonly error: PeerError };
