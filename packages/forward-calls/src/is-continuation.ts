const EVENT_END = /\r?\n\r?\n/;
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/** True when the event has neither fields nor an id, such as the comments by which a server keeps a connection open. */
const hasOnlyComments = (event: string): boolean =>
  event.split('\n').every((line) => line === '' || line === '\r' || line.startsWith(':'));

/**
 * True when each event of a resumed stream has an id and comes after the ones before it. Anything else is not part of the stream, such as
 * the text of an error, or was sent before. Takes time linear in the size of `events`, which may be any bytes.
 *
 * @param events complete events
 * @param lastEventId id of the last event before them
 */
export function isContinuation(events: Buffer, lastEventId: string): boolean {
  let last = lastEventId;
  for (const event of events.toString('latin1').split(EVENT_END)) {
    if (hasOnlyComments(event)) continue;
    const id = ID_LINE.exec(event)?.[1];
    if (id === undefined || Number(id) <= Number(last)) return false;
    last = id;
  }
  return true;
}
