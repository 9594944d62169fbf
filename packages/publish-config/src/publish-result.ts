import type { ConfigHead, Finding } from '@laburnumshift/types';
import type { FileChange } from './file-change.js';

/** Result of a publish or a rollback. `unknown` means that the head may or may not have been replaced. */
export type PublishResult =
  | { readonly kind: 'published'; readonly head: ConfigHead; readonly files: readonly FileChange[] }
  | { readonly kind: 'unchanged'; readonly generation: number }
  | { readonly kind: 'refused'; readonly findings: readonly Finding[] }
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly changeId: string; readonly detail: string };
