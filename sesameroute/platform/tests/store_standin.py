"""A stand-in for the platform's store that can misbehave."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class StoreStandIn:
    """Keys, leases and history behind the platform's calls.

    Attributes
    ----------
    page : int
        Items of one page.
    faults : list of str
        Each call takes one: ``busy``, ``many``, ``reset``, ``silent``,
        ``lost`` (done and not answered), or ``fine``.
    calls : list of str
        Paths of all calls.

    """

    def __init__(self, address='127.0.0.1', page=50):
        """Start empty at revision 1."""
        self.page = page
        self.faults = []
        self.calls = []
        self.rejected = set()
        self.revision = 1
        self.oldest = 0
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = threading.Condition()
        self._server = ThreadingHTTPServer((address, 0), _Handler)
        self._server.daemon_threads = True
        self._server.store = self
        self.address = self._server.server_address
        threading.Thread(
            target=self._server.serve_forever,
            args=(0.02,),
            daemon=True,
        ).start()

    def stop(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, content, lease=0):
        """Write a key as the operator or a backend server does."""
        with self.changed:
            self.revision += 1
            known = self.items.get(key)
            item = {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'revision': self.revision,
                'created': known['created'] if known else self.revision,
                'lease': lease,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key):
        """Remove a key."""
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            gone = {'key': key, 'revision': self.revision, 'deleted': True}
            self.events.append(gone)
            self.changed.notify_all()

    def compact(self):
        """Drop the history."""
        with self.changed:
            self.oldest = self.revision
            self.events = []

    def list_page(self, prefix, after):
        """Return a page of items."""
        with self.changed:
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            return {
                'items': [self.items[key] for key in keys[: self.page]],
                'has_more': len(keys) > self.page,
                'current_rev': self.revision,
            }

    def wait_events(self, prefix, after, seconds):
        """Return the events after a revision, None without history."""
        ends = time.monotonic() + seconds
        with self.changed:
            if after < self.oldest:
                return None
            while True:
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                left = ends - time.monotonic()
                if found or left <= 0:
                    return {'events': found, 'current_rev': self.revision}
                self.changed.wait(left)

    def open_lease(self, ttl):
        """Return a new lease."""
        lease = 1000 + len(self.leases)
        self.leases[lease] = ttl
        return {'lease': lease, 'ttl_ms': ttl}

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether it was there."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    def transact(self, body):
        """Apply a transaction; return status and body."""
        for row in body['precondition']:
            known = self.items.get(row['key'])
            if row['revision'] != (known['revision'] if known else 0):
                return 412, {'items': [known] if known else []}
        for written in body['puts']:
            if written['lease'] and written['lease'] not in self.leases:
                return 404, {}
        for written in body['puts']:
            content = base64.b64decode(written['value'])
            self.put(written['key'], content, written['lease'])
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_arguments):
        """Keep the test's output clean."""

    def handle_call(self):
        """Answer one call, or misbehave."""
        store = self.server.store
        store.calls.append(self.path)
        length = int(self.headers.get('Content-Length', 0))
        body = json.loads(self.rfile.read(length) or b'null')
        fault = store.faults.pop(0) if store.faults else 'fine'
        if self.client_address[0] in store.rejected:
            fault = 'busy'
        if fault == 'busy':
            return self._answer(503, {})
        if fault == 'many':
            return self._answer(429, {})
        if fault == 'silent':
            time.sleep(3)
        if fault in {'reset', 'silent'}:
            self.close_connection = True
            return None
        status, content = self._run(store, body)
        if fault == 'lost':
            self.close_connection = True
            return None
        return self._answer(status, content)

    do_GET = do_POST = do_DELETE = handle_call

    def _run(self, store, body):
        parts = urlsplit(self.path)
        query = {name: text[0] for name, text in parse_qs(parts.query).items()}
        call, _, rest = parts.path.removeprefix('/-/').partition('/')
        if call == 'kv-range':
            prefix = query.get('path_prefix', '')
            return 200, store.list_page(prefix, query.get('after', ''))
        if call == 'kv-watch':
            seconds = int(query['wait_ms']) / 1000
            prefix = query.get('path_prefix', '')
            found = store.wait_events(prefix, int(query['after']), seconds)
            return (410, {}) if found is None else (200, found)
        if call == 'kv-txn':
            return store.transact(body)
        if call == 'kv-lease':
            return 200, store.open_lease(body['ttl_ms'])
        if call == 'kv-keep':
            is_alive = int(rest) in store.leases
            return (200, {'ttl_ms': 1}) if is_alive else (404, {})
        if call == 'kv-lease-end':
            return (200 if store.end_lease(int(rest)) else 404), {}
        return 404, {}

    def _answer(self, status, content):
        packed = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(packed)))
        self.end_headers()
        self.wfile.write(packed)
