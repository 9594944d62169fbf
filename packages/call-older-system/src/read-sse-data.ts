/** Longest server-sent event, characters. */
const MAX_EVENT_LENGTH = 1024 * 1024;

/** Yields the data of each server-sent event, its lines joined by newlines. Throws when an event is too long. */
export async function* readSseData(source: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const part of source) {
    rest += decoder.decode(part, { stream: true });
    const events = rest.split(/\r?\n\r?\n/);
    rest = events.pop() ?? '';
    for (const event of events) {
      const lines = event.split(/\r?\n/).filter((line) => line.startsWith('data:'));
      if (lines.length > 0) yield lines.map((line) => line.slice(5).trimStart()).join('\n');
    }
    if (rest.length > MAX_EVENT_LENGTH) throw new Error('an event is too long');
  }
}
