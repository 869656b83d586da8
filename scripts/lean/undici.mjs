// The parts of undici that the gateway uses.
import api from 'undici/lib/api/index.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// As the library's own entry does.
Object.assign(Dispatcher.prototype, api);

export { Client, Pool };
