/** Reasons for which a collector takes no more bytes. */
export const COLLECT_FAULTS = {
  /** The bytes exceed the limit of the collector. */
  tooLong: 'the bytes exceed the size limit',
  /** The chunks hold so little that handling them costs more than the bytes are worth. */
  tooSmallChunks: 'the bytes come in too small chunks',
  /** All collectors of the budget together keep as much as they may. */
  noMemory: 'the memory for such bytes is used up',
} as const;
