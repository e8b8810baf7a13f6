// Package cutproxy passes HTTP requests on to a server and cuts its responses short, for tests.
package cutproxy
