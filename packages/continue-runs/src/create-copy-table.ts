import type { CopyTable } from './copy-table.js';

/** Creates an empty table. It is bounded by the limit on copies of `isWorthBackup`. */
export function createCopyTable(): CopyTable {
  const counts = new Map<string, number>();
  let total = 0;
  return {
    addCopy: (engine) => {
      counts.set(engine, (counts.get(engine) ?? 0) + 1);
      total += 1;
      let isHeld = true;
      return () => {
        if (!isHeld) return;
        isHeld = false;
        total -= 1;
        const left = (counts.get(engine) ?? 1) - 1;
        if (left > 0) counts.set(engine, left);
        else counts.delete(engine);
      };
    },
    countAt: (engine) => counts.get(engine) ?? 0,
    countAll: () => total,
  };
}
