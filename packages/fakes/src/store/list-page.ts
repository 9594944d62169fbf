import { describePiece } from './describe-piece.js';
import type { StoreCall } from './store-call.js';

/** Pieces in one page of the listing. */
const PAGE_SIZE = 2_000;

/** Returns a page of the listing in key order, from the key after `after` on. */
export function listPage(call: StoreCall): { status: number; value: unknown } {
  const after = call.url.searchParams.get('after') ?? '';
  const rest = call.context.table
    .listPieces()
    .filter((piece) => piece.key > after)
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  const page = rest.slice(0, PAGE_SIZE);
  const next = rest.length > page.length ? page.at(-1)?.key : undefined;
  return { status: 200, value: { pieces: page.map(describePiece), next } };
}
