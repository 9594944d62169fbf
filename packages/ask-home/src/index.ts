/** Placement of calls by the home of a failure domain: the host that chooses backend servers for the other hosts of the domain. */
export { createGrantTable } from './create-grant-table.js';
export { createHomeAsker } from './create-home-asker.js';
export { createPlacer } from './create-placer.js';
export { createQuestionDesk } from './create-question-desk.js';
export type { GrantTable } from './grant-table.js';
export type { HomeAnswer } from './home-answer.js';
export type { HomeAsker } from './home-asker.js';
export { HOME_TIMES } from './home-times.js';
export type { Placer } from './placer.js';
export type { QuestionDesk } from './question-desk.js';
export { serveQuestions } from './serve-questions.js';
