/** Renders an answer that has no text for people, or whose shape this release does not know. */
export function renderAnswer(body: unknown): string {
  return JSON.stringify(body, null, 2);
}
