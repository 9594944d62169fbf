import type { CallerOperation } from './caller-operation.js';

/** A completion as its caller saw it. */
export interface CompletionOperation extends CallerOperation {
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** First output token that was asked for. */
  readonly offset: number;
  /** Output tokens that arrived, in order. */
  readonly tokens: readonly string[];
}
