import type { ImportRef } from './import-ref.js';
import type { PieceRef } from './piece-ref.js';

/** Body of a completion request to an engine. */
export interface EngineRequest {
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stream: true;
  readonly request_id: string;
  readonly priority: number;
  readonly cache_scope: string;
  readonly weight_version: string;
  readonly pieces: readonly PieceRef[];
  readonly resume_offset: number;
  readonly imports: readonly ImportRef[];
  /** Pieces before this index are cached or computed; the following ones are imported concurrently. */
  readonly head_pieces: number;
}
