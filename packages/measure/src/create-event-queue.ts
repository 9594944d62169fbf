import type { EventQueue } from './event-queue.js';

interface Item {
  readonly atMs: number;
  readonly order: number;
  readonly handler: () => void;
}

/** Creates an empty queue at time 0, kept as a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: Item[] = [];
  let nowMs = 0;
  let order = 0;
  const isBefore = (a: Item | undefined, b: Item | undefined): boolean =>
    a !== undefined && (b === undefined || a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order));
  const replaceAt = (index: number, item: Item | undefined): void => {
    if (item !== undefined) heap[index] = item;
  };
  const takeFirst = (): Item | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = isBefore(heap[left + 1], heap[left]) ? left + 1 : left;
      if (!isBefore(heap[child], last)) break;
      replaceAt(index, heap[child]);
      index = child;
    }
    heap[index] = last;
    return first;
  };
  return {
    getNowMs: () => nowMs,
    schedule: (delayMs, handler) => {
      const item = { atMs: nowMs + Math.max(0, delayMs), order, handler };
      order += 1;
      let index = heap.length;
      while (index > 0) {
        const parent = (index - 1) >> 1;
        if (!isBefore(item, heap[parent])) break;
        replaceAt(index, heap[parent]);
        index = parent;
      }
      heap[index] = item;
    },
    runUntil: (endMs) => {
      for (let item = heap[0]; item !== undefined && item.atMs <= endMs; item = heap[0]) {
        takeFirst();
        nowMs = item.atMs;
        item.handler();
      }
    },
  };
}
