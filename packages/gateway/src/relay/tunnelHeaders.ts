/** Id of the replica that a tunnel leads to. */
export const BACKEND_SERVER_HEADER = 'backend-server';
/** Id of a tunnel, which starts with the id of the instance that asks for it. */
export const TUNNEL_HEADER = 'tunnel';
