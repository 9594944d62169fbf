/**
 * Answer to a request to copy a run.
 *
 * - `copied`: the target has the memory under `handle`.
 * - `no-run`: the engine does not run the call.
 * - `busy`: another copy of the run is in progress.
 * - `no-capacity`: the target is full or not reachable. After a request that stopped the run, the engine keeps the memory under `handle`.
 * - `lost`: there is no valid answer, and the request may have taken effect.
 */
export type MoveAnswer =
  | { readonly kind: 'copied'; readonly handle: string }
  | { readonly kind: 'no-run' }
  | { readonly kind: 'busy' }
  | { readonly kind: 'no-capacity'; readonly handle: string | undefined }
  | { readonly kind: 'lost' };
