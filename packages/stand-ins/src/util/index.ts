export { listenOn } from './listenOn.js';
export { ownCommand } from './ownCommand.js';
export { writeWithoutEnd } from './writeWithoutEnd.js';
