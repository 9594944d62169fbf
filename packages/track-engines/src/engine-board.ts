import type { BackendLoad, PromptPiece } from '@laburnumshift/forward-types';
import type { CachedChain } from './cached-chain.js';
import type { CallWork } from './call-work.js';
import type { ServerState } from './server-state.js';
import type { TrackedCall } from './tracked-call.js';

/** Load, health and cached pieces of all backend servers, as this host sees them. */
export interface EngineBoard {
  readonly beginCall: (server: string, work: CallWork) => TrackedCall;
  readonly getState: (server: string) => ServerState;
  readonly observeLoad: (server: string, load: BackendLoad) => void;
  /** The server refused a connection, or reset calls: it gets no new calls for `ms`. */
  readonly avoidServer: (server: string, ms: number) => void;
  readonly addPiece: (server: string, scope: string, piece: string, tokens: number) => void;
  readonly dropPiece: (server: string, scope: string, piece: string) => void;
  /** Forgets what the server has cached. */
  readonly clearPieces: (server: string) => void;
  readonly findChain: (server: string, scope: string, pieces: readonly PromptPiece[]) => CachedChain;
  /** Forgets everything about a server that left. */
  readonly dropServer: (server: string) => void;
}
