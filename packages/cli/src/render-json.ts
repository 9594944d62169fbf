/** Renders a response body as indented JSON, for bodies whose shape this release does not recognize. */
export function renderJson(body: unknown): string {
  return JSON.stringify(body, null, 2);
}
