const EVENT_END = /\r?\n\r?\n/;
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;
const COMMENT_LINES = /^(?::[^\n]*\n?|\r?\n)*$/;

/**
 * True when each event of a resumed stream has an id and comes after the ones before it. Anything else is not part of the stream, such as
 * the text of an error, or was sent before.
 *
 * @param events complete events
 * @param lastEventId id of the last event before them
 */
export function isContinuation(events: Buffer, lastEventId: string): boolean {
  let last = lastEventId;
  for (const event of events.toString('latin1').split(EVENT_END)) {
    if (COMMENT_LINES.test(event)) continue;
    const id = ID_LINE.exec(event)?.[1];
    if (id === undefined || Number(id) <= Number(last)) return false;
    last = id;
  }
  return true;
}
