/* Options of connections that the HTTP client opens. */
#ifndef SOCKOPT_H
#define SOCKOPT_H

#include <curl/curl.h>

int sockopt_alive(void *, curl_socket_t, curlsocktype);

#endif
