import { connect } from 'node:net';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { proto } from '@jujubecroft/operator';
import type { proto as peers } from '@jujubecroft/operator/peers';
import {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/operator';

import type { InstanceContext } from '../InstanceContext.js';
import { grpcError } from './grpcError.js';

const PROBE_TIMEOUT_MS = 700;

/** Whether an instance accepts connections on its control address. */
function canConnect(address: string): Promise<boolean> {
  const split = address.lastIndexOf(':');
  const host = address.slice(0, split);
  const port = Number(address.slice(split + 1));
  return new Promise(resolve => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (reachable: boolean): void => {
      socket.destroy();
      resolve(reachable);
    };
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('timeout', () => {
      finish(false);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
}

/**
 * Creates the handlers of calls between instances.
 *
 * @param context - of the instance
 * @returns the handlers
 */
export function peerHandlers(context: InstanceContext): proto.PeerServer {
  const { host, membership } = context;

  const heartbeat: handleUnaryCall<
    peers.HeartbeatMessage,
    peers.HeartbeatMessage
  > = (call, callback) => {
    membership.onMessage(fromHeartbeatMessage(call.request));
    const reply = membership.message({
      revision: host.configuration.revision,
      inFlight: host.inFlight,
    });
    callback(null, toHeartbeatMessage(reply));
  };

  const probeFor: handleUnaryCall<proto.ProbeRequest, proto.ProbeReply> = (
    call,
    callback,
  ) => {
    canConnect(call.request.peerAddress).then(
      reachable => {
        callback(null, { reachable });
      },
      (err: unknown) => {
        callback(grpcError(err));
      },
    );
  };

  const configuration: handleUnaryCall<
    proto.ConfigurationRequest,
    proto.ConfigurationReply
  > = (call, callback) => {
    const cfg = host.configuration;
    const newer = cfg.revision > call.request.afterRevision;
    callback(null, {
      revision: cfg.revision,
      configurationJson: newer ? JSON.stringify(cfg) : '',
    });
  };

  const reportDemand: handleUnaryCall<proto.DemandReport, proto.ShareReply> = (
    call,
    callback,
  ) => {
    callback(null, { shares: context.shares.onReport(call.request) });
  };

  const recordClaim: handleUnaryCall<proto.ClaimWrite, proto.ClaimReply> = (
    call,
    callback,
  ) => {
    const { key, valueJson, ifAbsent } = call.request;
    context.batcher
      .write({
        key,
        value: JSON.parse(valueJson) as unknown,
        ...(ifAbsent ? { ifVersion: 0 } : {}),
      })
      .then(
        outcome => {
          const written = outcome === undefined;
          const conflictJson = written ? '' : JSON.stringify(outcome);
          callback(null, { written, conflictJson });
        },
        (err: unknown) => {
          callback(grpcError(err));
        },
      );
  };

  return { heartbeat, probeFor, reportDemand, recordClaim, configuration };
}
