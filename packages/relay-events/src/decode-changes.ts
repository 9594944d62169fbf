import type { CacheChange } from '@laburnumshift/read-cache-events';
import { PIECE_SEPARATOR } from './piece-separator.js';
import type { RelayPage } from './relay-page.js';

/** Decodes the changes of a page; `undefined` when the columns differ in length or a scope index is unknown. */
export function decodeChanges({
  scopes,
  changes,
}: Pick<RelayPage, 'scopes' | 'changes'>): readonly CacheChange[] | undefined {
  const decoded: CacheChange[] = [];
  for (const [engine, bootId, isCleared, codes, pieceList, tokenList] of changes) {
    const pieces = pieceList === '' ? [] : pieceList.split(PIECE_SEPARATOR);
    if (pieces.length !== codes.length || tokenList.length !== codes.length) return undefined;
    const events = codes.map((code, index) => ({
      isAdded: code % 2 === 1,
      scope: scopes[Math.floor(code / 2)] ?? '',
      piece: pieces[index] ?? '',
      tokens: tokenList[index] ?? 0,
    }));
    if (events.some(({ scope }) => scope === '')) return undefined;
    decoded.push({ engine, bootId, isCleared, events });
  }
  return decoded;
}
