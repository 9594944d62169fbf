import type { ReadChange } from '@laburnumshift/read-cache-events';
import { PIECE_SEPARATOR } from './piece-separator.js';
import type { RelayPage } from './relay-page.js';

/** Packs changes: scopes are named once a page, and the fields of a change's events stand in three columns. */
export function encodeChanges(changes: readonly ReadChange[]): Pick<RelayPage, 'scopes' | 'changes'> {
  const indexes = new Map<string, number>();
  const getIndex = (scope: string): number => {
    const index = indexes.get(scope) ?? indexes.size;
    indexes.set(scope, index);
    return index;
  };
  const packed = changes.map(({ engine, bootId, isCleared, events }): RelayPage['changes'][number] => [
    engine,
    bootId,
    isCleared,
    events.map(({ scope, isAdded }) => getIndex(scope) * 2 + Number(isAdded)),
    events.map(({ piece }) => piece).join(PIECE_SEPARATOR),
    events.map(({ tokens }) => tokens),
  ]);
  return { scopes: [...indexes.keys()], changes: packed };
}
