/** Number of chunks that may be of any size, such as a short answer that is written byte by byte. */
const MAX_ANY_SIZE_CHUNKS = 4096;
/** Least mean size of further chunks, bytes. */
const MIN_MEAN_CHUNK_BYTES = 16;

/** Whether a body of `bytes` bytes in so many chunks costs more to handle than the bytes are worth. */
export function hasTooSmallChunks(chunks: number, bytes: number): boolean {
  return chunks > MAX_ANY_SIZE_CHUNKS + bytes / MIN_MEAN_CHUNK_BYTES;
}
