export { listenOn } from './listenOn.js';
export { ownCommand } from './ownCommand.js';
