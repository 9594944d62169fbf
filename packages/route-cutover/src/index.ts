/** Traffic split of conversations between this system and the older one by a stable hash. */
export { chooseSystem } from './choose-system.js';
